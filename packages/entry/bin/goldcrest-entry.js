#!/usr/bin/env node
// Imported alone, so that signals are kept while the program is loaded.
import { collectSignals } from '@goldcrestscale/runtime/earlySignals';

collectSignals();
await import('../dist/cli.js');
