export {LinkState, type ProbeRound} from './LinkState.js';
export {ServerContacts} from './ServerContacts.js';
export {chooseProbedServers} from './chooseProbedServers.js';
