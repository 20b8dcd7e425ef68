/** Executes the commands of a dispatcher. */
import type {Command} from '@goldcrestpier/dispatch';
import type {CommandSender} from './command_sender.js';
import type {TaskDelegator} from './task_delegator.js';

/** Executes one command; resolves when its result has been handled. */
export function executeCommand(
  command: Command,
  commandSender: CommandSender,
  delegator: TaskDelegator,
): Promise<void> {
  switch (command.kind) {
    case 'start':
      return commandSender.start(command);
    case 'stop':
      return commandSender.stop(command);
    case 'lend':
      return delegator.delegate(command);
    case 'recall':
      return delegator.recall(command);
  }
}
