export {
  answersSchema,
  type Answers,
  type AnswersInput,
  type KeyAnswer,
  type ServiceAnswer,
  type WorkspaceAnswer,
} from './Answers.js';
export {checkAnswers, formatIssue, type AnswerIssue} from './AnswersCheck.js';
export {findAnswerIssues, parseAnswers, readAnswersFile} from './AnswersFile.js';
export {
  generateConfiguration,
  hashKey,
  type GeneratedConfiguration,
  type GeneratedKey,
  type GenerateOptions,
} from './ConfigurationGenerator.js';
export {
  compareConfigurations,
  formatChange,
  type ConfigurationChange,
} from './ConfigurationDifference.js';
export {Interview, type InterviewOptions} from './Interview.js';
export {getQuestions, type AnswerTexts, type Question} from './Questions.js';
