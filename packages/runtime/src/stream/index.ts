/**
 * Streams of changes, on `most`. A topic is the writing end; parts that only
 * read are handed its stream.
 */
import {from, type Stream} from 'most';

/** One end that publishes, and any number of readers. */
export interface Topic<Value> {
  readonly stream: Stream<Value>;
  publish(value: Value): void;
  end(): void;
}

interface Subscriber<Value> {
  next(value: Value): void;
  complete(): void;
}

/** `most` defines this well-known symbol where the language has none yet. */
const OBSERVABLE = (Symbol as unknown as {readonly observable: symbol})
  .observable;

/** Creates a topic. Readers see what is published after they subscribe. */
export function createTopic<Value>(): Topic<Value> {
  const subscribers = new Set<Subscriber<Value>>();
  const observable = {
    subscribe(subscriber: Subscriber<Value>) {
      subscribers.add(subscriber);
      return {unsubscribe: () => subscribers.delete(subscriber)};
    },
    [OBSERVABLE]() {
      return this;
    },
  };
  return {
    stream: from(observable as unknown as ArrayLike<Value>),
    publish: value => {
      for (const subscriber of subscribers) subscriber.next(value);
    },
    end: () => {
      for (const subscriber of subscribers) subscriber.complete();
      subscribers.clear();
    },
  };
}
