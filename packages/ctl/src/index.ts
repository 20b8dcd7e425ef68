/** `goldcrestpierctl`, the command line of operators. */
export {ExitCode} from './failures/exit_code.js';
export {runCtl, type CtlProcess} from './program/program.js';
