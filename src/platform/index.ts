export {InstanceListClient, type InstanceListClientOptions} from './InstanceListClient.js';
