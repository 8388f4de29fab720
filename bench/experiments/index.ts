export {runLeavingDomain, type LeavingDomainOptions} from './LeavingDomain.js';
