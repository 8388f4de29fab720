export {Catalog, type RolloutOrder} from './Catalog.js';
export {RouteTable} from './RouteTable.js';
export {
  ServerCatalog,
  type KnownServer,
  type DepartureReason,
  type RecordedDeparture,
  type RecordedEntry,
  type ServerChange,
  type ServerEntry,
  getServerStartKey,
  type ServerStart,
} from './ServerCatalog.js';
export type {
  ConnectionLimits,
  EngineLimits,
  ReplicaBounds,
  Route,
  RouteKind,
  Service,
  ServiceShare,
  ServingConfiguration,
  Workspace,
  WorkspaceQuota,
} from './ServingConfiguration.js';
