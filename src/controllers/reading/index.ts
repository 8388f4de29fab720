export {
  getReaderRank,
  getReadDelayMs,
  type ReaderCandidate,
  type ReadIntervals,
  type ReadView,
} from './decideRead.js';
