export {checkConfiguration, type ConfigurationCheck} from './checkConfiguration.js';
export {
  createError,
  formatFinding,
  type ConfigurationFinding,
  type FindingKind,
} from './ConfigurationFinding.js';
