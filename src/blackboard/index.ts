export {Blackboard, type SectionListener} from './Blackboard.js';
export type * from './Sections.js';
