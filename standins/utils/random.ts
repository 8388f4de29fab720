/** Re-exports the seeded random number generator that the load tool uses too. */
export {createSeededRandom as createRandom} from '../../src/utils/index.js';
