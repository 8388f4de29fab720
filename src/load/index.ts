export {planArrivals, type Arrival} from './ArrivalPlan.js';
export {createPrompt, type CallResult} from './LoadCall.js';
export {parseMix, readMix, type LoadMix} from './LoadMix.js';
export {createHtml, createMarkdown, type PolicyReport} from './LoadReport.js';
export {checkLoadSettings, loadSettings, type LoadSettings} from './LoadSettings.js';
export {countRecomputedTokens, summarize, type LoadSummary} from './LoadStatistics.js';
export {PolicyComparison} from './PolicyComparison.js';
export {createRandom} from './random.js';
