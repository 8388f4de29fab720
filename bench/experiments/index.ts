export {runLeavingDomain, type LeavingDomainOptions} from './LeavingDomain.js';
export {createMovesReport, runMovesExperiment} from './moves/index.js';
