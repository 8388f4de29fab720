export {
  getReaderRank,
  getReadDelayMs,
  type ReaderCandidate,
  type ReadIntervals,
  type ReadView,
} from './decideRead.js';
export {
  START_POSITION,
  comparePositions,
  getLaterPosition,
  type LogPosition,
} from './LogPosition.js';
export {ReadProof, type ReportedProof} from './ReadProof.js';
export {ReadOrigins, type RelayedRead} from './ReadOrigins.js';
