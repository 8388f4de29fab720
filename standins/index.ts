export * from './backend/index.js';
export * from './engine/index.js';
export * from './faults/index.js';
export * from './ledger/index.js';
export * from './plain/index.js';
export * from './platform/index.js';
