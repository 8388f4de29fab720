export {describeBody, RunLedger, type RunEnd, type RunEntry} from './RunLedger.js';
