export {ConfigurationFold, type ConfigurationVerdict} from './ConfigurationFold.js';
export {RepeatFilter, type Fold} from './Fold.js';
