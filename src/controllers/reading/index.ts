export {
  getReaderRank,
  getReadDelayMs,
  type ReaderCandidate,
  type ReadIntervals,
  type ReadView,
} from './decideRead.js';
export {ReadOrigins, type RelayedRead} from './ReadOrigins.js';
