export {getWarmthLimit, type WarmthLimitView} from './warmthLimit.js';
