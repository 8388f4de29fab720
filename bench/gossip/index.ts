export {measureGossip, type GossipMeasurement} from './measureGossip.js';
