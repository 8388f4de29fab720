export {
  CloudClient,
  type CloudClientOptions,
  type CloudPrice,
  type StartOrder,
} from './CloudClient.js';
export {EvidenceClient, type EvidenceClientOptions} from './EvidenceClient.js';
export {InstanceListClient, type InstanceListClientOptions} from './InstanceListClient.js';
export {RefusalsClient, type RefusalCount, type RefusalsClientOptions} from './RefusalsClient.js';
export {
  WeightStoreClient,
  type WeightLoadRequest as WeightLoadOrder,
  type WeightLoadState,
  type WeightStoreClientOptions,
} from './WeightStoreClient.js';
