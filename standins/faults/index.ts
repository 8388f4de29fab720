export {
  faultsSchema,
  isVersionBad,
  NO_FAULTS,
  type BadVersion,
  type Faults,
  type FaultsInput,
} from './Faults.js';
