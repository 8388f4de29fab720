export {
  answersSchema,
  type Answers,
  type AnswersInput,
  type KeyAnswer,
  type ServiceAnswer,
  type WorkspaceAnswer,
} from './Answers.js';
export {checkAnswers, formatIssue, type AnswerIssue} from './checkAnswers.js';
export {findAnswerIssues, parseAnswers, readAnswersFile} from './AnswersFile.js';
export {
  generateConfiguration,
  hashKey,
  type GeneratedConfiguration,
  type GeneratedKey,
  type GenerateOptions,
} from './generateConfiguration.js';
export {
  compareConfigurations,
  formatChange,
  type ConfigurationChange,
} from './compareConfigurations.js';
export {Interview, type InterviewOptions} from './Interview.js';
export {getQuestions, type AnswerTexts, type Question} from './Questions.js';
