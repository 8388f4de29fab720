export {measureRollouts, type RolloutRow} from './measureRollouts.js';
