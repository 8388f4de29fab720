export {
  answersSchema,
  type Answers,
  type AnswersInput,
  type KeyAnswer,
  type ServiceAnswer,
  type WorkspaceAnswer,
} from './Answers.js';
export {checkAnswers, formatIssue, type AnswerIssue} from './AnswersCheck.js';
export {parseAnswers, readAnswersFile} from './AnswersFile.js';
export {
  generateConfiguration,
  hashKey,
  type GeneratedConfiguration,
  type GeneratedKey,
  type GenerateOptions,
} from './ConfigurationGenerator.js';
