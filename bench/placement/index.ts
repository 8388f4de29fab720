export {PlacementSimulation, type SimulationOptions} from './PlacementSimulation.js';
export type {SimulationResult} from './SimulationResult.js';
