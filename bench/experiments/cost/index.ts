export {runCostExperiment, type CostRecords} from './CostExperiment.js';
export {createCostReport, sumFleets, type FleetTotals} from './CostReport.js';
export {FleetModel, type FleetDay, type FleetDayOptions, type FleetSpan} from './FleetModel.js';
export {createControlledFleet, createFixedFleet, type FleetPolicy} from './FleetPolicy.js';
export {SeededMarket, type ReclaimWave} from './SeededMarket.js';
