export {runScenario, type ScenarioResult} from './ScenarioRunner.js';
export {createConfiguration, WORKSPACE_KEYS} from './ScenarioConfiguration.js';
export type {ExpectationResult} from './ExpectationChecker.js';
