/** Random numbers from a seed, as the load tool draws them. */
export {createSeededRandom as createRandom} from '../../src/utils/index.js';
