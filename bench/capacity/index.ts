export {APPEND_ROWS, sumAppends, type AppendRow} from './AppendRows.js';
export {runCapacityBench, SLOPE_DEFINITIONS, computeRows} from './CapacityBench.js';
export {
  formatNumber,
  parseTable,
  replaceBetweenMarkers,
  sumRows,
  toTable,
  computeRow,
  type ComputedRow,
  type RoundedSlope,
} from './CapacityPage.js';
export {fitLine, type LineFit, type Sample} from './LeastSquares.js';
export {BUDGET, RESOURCE_UNITS, TARGET, type Resource} from './Target.js';
export {CAPACITY_ROWS, type DesignPhase, type CapacityRow} from './CapacityRows.js';
export {createBackendServer} from './Fixtures.js';
export {measureCpuMicros} from './Measure.js';
