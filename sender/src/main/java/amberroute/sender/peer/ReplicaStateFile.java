package amberroute.sender.peer;

import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaState;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * The file in which a replica's folder keeps what must outlast the process beside the copy: the granted term. Alone knows its form, a JSON
 * object. A write replaces the file as a whole. Stateless and thread-safe.
 */
final class ReplicaStateFile {
    private static final String FILE_NAME = "holding";
    private static final String TEMPORARY_SUFFIX = ".new";
    private static final String TERM = "term";
    private static final String OWNER = "owner";
    private static final String COPY_FOLDER = "copy";
    private static final String COMPLETED = "done";
    private static final String NON_VOTING_STAGE = "fresh";

    /** What the file says; the log position is the copy's own. */
    record Content(ReplicaState state, String copyFolderName, boolean completed) {}

    private ReplicaStateFile() {}

    /** Where a replica's folder has the file. */
    static Path in(Path replicaFolder) {
        return replicaFolder.resolve(FILE_NAME);
    }

    /** Reads the file; an {@link IOException} or a {@link RuntimeException} where it is missing or damaged. */
    static Content read(Path replicaFolder) throws IOException {
        JsonObject json =
                JsonParser.parseString(Files.readString(in(replicaFolder))).getAsJsonObject();
        ReplicaState state = new ReplicaState(
                json.get(TERM).getAsLong(),
                json.get(OWNER).getAsString(),
                LogPosition.NONE,
                json.get(NON_VOTING_STAGE).getAsInt());
        return new Content(
                state, json.get(COPY_FOLDER).getAsString(), json.get(COMPLETED).getAsBoolean());
    }

    /** Writes the file; when it returns the kernel has it, as with the journal. */
    static void write(Path replicaFolder, Content content) throws IOException {
        JsonObject json = new JsonObject();
        json.addProperty(TERM, content.state().term());
        json.addProperty(OWNER, content.state().owner());
        json.addProperty(COPY_FOLDER, content.copyFolderName());
        json.addProperty(COMPLETED, content.completed());
        json.addProperty(NON_VOTING_STAGE, content.state().nonVotingStage());
        Files.createDirectories(replicaFolder);
        Path temporary = replicaFolder.resolve(FILE_NAME + TEMPORARY_SUFFIX);
        Files.writeString(temporary, json.toString());
        Files.move(temporary, in(replicaFolder), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
