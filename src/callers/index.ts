export {BlockPool, BodyBlocks} from './BodyBlocks.js';
export {ConnectionTable, type ConnectionUse} from './ConnectionTable.js';
export {IncomingBudget, type IncomingAccount} from './IncomingBudget.js';
export {isBodyLate, type BodyProgress} from './isBodyLate.js';
export {ReadPacer, type PacedReader} from './ReadPacer.js';
