/** Command line of the load and experiment tool. */
import { runCli } from '@goldcrestscale/runtime';
import { createLoadProgram } from './program.js';

await runCli(createLoadProgram());
