export {parseScenario, readScenario, ScenarioError} from './ScenarioParser.js';
export type {
  AbusePlan,
  Expectation,
  LoadPlan,
  Scenario,
  ServicePlan,
  StartPlan,
  Step,
  Target,
} from './scenarioSchema.js';
