/** The goldcrestpierctl program: the operators' command line. */
export {ExitCode} from './failures/exit_code.js';
export {runCtl, type CtlProcess} from './program/program.js';
