// Generates docs/LOG-EVENTS.md from the definitions of the log events; requires an up-to-date build (`npm run build`).
import {writeFileSync} from 'node:fs';
import {renderEventPage} from '../dist/src/logging/renderEventPage.js';

writeFileSync('docs/LOG-EVENTS.md', renderEventPage());
