export {APPEND_ROWS, sumAppends, type AppendRow} from './AppendRows.js';
export {runCapacityBench, SLOPE_DEFINITIONS, computeRows as workOutAll} from './CapacityBench.js';
export {
  formatNumber,
  parseTable as readTable,
  replaceBetweenMarkers,
  sumRows,
  toTable,
  computeRow as workOut,
  type ComputedRow as PageRow,
  type RoundedSlope as PageSlope,
} from './CapacityPage.js';
export {fitLine, type LineFit, type Sample} from './LeastSquares.js';
export {BUDGET, RESOURCE_UNITS, TARGET, type Resource} from './Target.js';
export {
  CAPACITY_ROWS as WORKED_ROWS,
  type DesignPhase as Phase,
  type CapacityRow as WorkedRow,
} from './CapacityRows.js';
export {createBackendServer} from './Fixtures.js';
export {measureCpuMicros} from './Measure.js';
