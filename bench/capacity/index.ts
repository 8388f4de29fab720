export {APPEND_ROWS, sumAppends, type AppendRow} from './AppendRows.js';
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
export {BUDGET, RESOURCE_UNITS, TARGET, type Resource} from './Target.js';
export {WORKED_ROWS, type Phase, type WorkedRow} from './WorkedRows.js';
export {createBackendServer} from './Fixtures.js';
export {measureCpuMicros} from './Measure.js';
