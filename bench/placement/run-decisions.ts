/** Prints the CPU time of placement decisions. Usage: node run-decisions.js */
import {measurePlacement} from './measurePlacement.js';

const SERVER_COUNTS = [53, 300, 1_000];
const DECISIONS = 2_000;

for (const servers of SERVER_COUNTS) {
  for (const hasFactors of [false, true]) {
    const micros = measurePlacement({servers, decisions: DECISIONS, hasFactors});
    const rule = hasFactors ? 'by speed' : 'by load';
    console.log(`${servers} servers, ${rule}: ${micros.toFixed(1)} us of CPU per decision`);
  }
}
