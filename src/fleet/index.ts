export {FleetDaemon} from './FleetDaemon.js';
export {fleetSettings, type FleetSettings} from './FleetSettings.js';
