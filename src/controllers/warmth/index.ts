export {getWarmthLimit, type WarmthLimitView} from './warmthLimit.js';
export {
  createWarmth,
  getWarmthName,
  updateWarmth,
  type WarmthObservation,
  type WarmthState,
} from './warmthState.js';
