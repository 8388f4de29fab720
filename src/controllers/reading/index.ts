export {
  getReaderRank,
  getReadingDelayMs,
  type ReadingCandidate,
  type ReadingTimes,
  type ReadingView,
} from './decideReading.js';
