/** Random numbers from a seed, as the load tool draws them. */
export {createRandom} from '../../src/load/index.js';
