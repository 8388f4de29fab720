export {createCostReport, runCostExperiment} from './cost/index.js';
export {
  LEAVING_DOMAIN_TIMES,
  runLeavingDomain,
  type LeavingDomainOptions,
} from './LeavingDomain.js';
export {createLeavingDomainReport, type LeavingDomainTimes} from './LeavingDomainReport.js';
export {createMovesReport, runMovesExperiment} from './moves/index.js';
