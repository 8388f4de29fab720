export {hashText, rankByRendezvous} from './rendezvous.js';
