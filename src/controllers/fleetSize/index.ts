export {NeededServers, type NeedView, type ServerNeed, type ServiceLoad} from './NeededServers.js';
export {PromptRates} from './PromptRates.js';
export {
  decideFleetSize,
  type DomainFleet,
  type DomainOrder,
  type FleetView,
} from './decideFleetSize.js';
