export {
  createWorkspaceKey,
  publishAnswersFile,
  type PublishAnswersOptions,
  type PublishedAnswers,
} from './publishAnswersFile.js';
export {createConfigurationCommands} from './ConfigurationCommands.js';
export {
  formatReport,
  type ConfigurationComparison,
  type ConfigurationReport,
} from './ConfigurationCheckCommand.js';
export {
  ConfigurationStream,
  type ConfigurationInForce,
  type PublishResult,
} from './ConfigurationStream.js';
export {
  DaemonsClient,
  type DaemonsClientOptions,
  type EntryResponse,
  type EntryMetric,
  type EntryStatus,
} from './DaemonsClient.js';
export {FleetStream, type MoveRequest} from './FleetStream.js';
export {countInForce, waitUntilInForce, type InForceCount} from './waitUntilInForce.js';
export type {OperatorContext} from './OperatorContext.js';
export {StreamSession, type SessionOptions} from './StreamSession.js';
export {createQuestionnaireCommand} from './QuestionnaireCommand.js';
export {createDomainCommands} from './DomainCommands.js';
export {createExplainCommand} from './ExplainCommand.js';
export {createEventsCommand, formatEvent, type LogEvent} from './EventsCommand.js';
export {createInstancesCommand, createStatsCommand, formatMetrics} from './InspectCommands.js';
export {createMoveCommands, getCurrentVersion, getMoveOrThrow} from './MoveCommands.js';
export {parseDeadline} from './parseDeadline.js';
