export {
  CloudApi,
  type CloudApiOptions,
  type Price,
  type StartedBackend,
  type StartRequest,
} from './CloudApi.js';
export {InstanceList, type InstanceListOptions} from './InstanceList.js';
export {InstanceRegistry, type ReclaimNotice} from './InstanceRegistry.js';
export {LogService, type LogServiceOptions} from './LogService.js';
export {Platform, type PlatformOptions, type PlatformPorts} from './Platform.js';
export {WeightStore, type WeightStoreOptions} from './WeightStore.js';
