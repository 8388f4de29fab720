export {
  configurationSchema,
  type Configuration,
  type FailureDomain,
  type PriceLimit,
  type RequestClass,
  type Service,
  type ServiceRoute,
  type ServiceVersion,
  type Workspace,
} from './Configuration.js';
export {
  checkConfiguration,
  createError,
  formatFinding,
  type ConfigurationCheck,
  type ConfigurationFinding,
  type FindingKind,
} from './check/index.js';
