export {measureMissingBackend, type MissingBackendResult} from './MissingBackend.js';
export {measureTableSwap, type TableSwapResult} from './TableSwap.js';
