export {
  CloudClient,
  type CloudClientOptions,
  type CloudPrice,
  type StartInstanceRequest,
} from './CloudClient.js';
export {EvidenceClient, type EvidenceClientOptions} from './EvidenceClient.js';
export {InstanceListClient, type InstanceListClientOptions} from './InstanceListClient.js';
export {RefusalsClient, type RefusalCount, type RefusalsClientOptions} from './RefusalsClient.js';
export {
  WeightStoreClient,
  type WeightLoadRequest,
  type WeightLoadState,
  type WeightStoreClientOptions,
} from './WeightStoreClient.js';
