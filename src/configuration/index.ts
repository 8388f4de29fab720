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
