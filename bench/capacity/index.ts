export {runCapacityBench, SLOPE_DEFINITIONS, workOutAll} from './CapacityBench.js';
export {
  formatNumber,
  readTable,
  replaceBetweenMarkers,
  sumRows,
  toTable,
  workOut,
  type PageRow,
  type PageSlope,
} from './CapacityPage.js';
export {fitLine, type LineFit, type Sample} from './LeastSquares.js';
export {BUDGET, TARGET, type Resource} from './Target.js';
export {WORKED_ROWS, type WorkedRow} from './WorkedRows.js';
