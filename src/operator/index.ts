export {
  createWorkspaceKey,
  publishAnswersFile,
  type PublishAnswersOptions,
  type PublishedAnswers,
} from './AnswersPublisher.js';
export {createConfigurationCommands} from './ConfigurationCommands.js';
export {
  ConfigurationStream,
  type ConfigurationInForce,
  type ConfigurationStreamOptions,
  type PublishResult,
} from './ConfigurationStream.js';
export {
  DaemonsClient,
  type DaemonsClientOptions,
  type EntryStatus,
  type InstanceListing,
  type ListedInstance,
} from './DaemonsClient.js';
export {countInForce, waitUntilInForce, type InForceCount} from './InForceWait.js';
export type {OperatorContext} from './OperatorContext.js';
export {createQuestionnaireCommand} from './QuestionnaireCommand.js';
